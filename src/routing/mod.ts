export { type RouteChoice, Router } from "./router.ts";
export { type WeightedItem, WeightedRotation } from "./weighted_rotation.ts";
export type {
  AttemptOutcome,
  LinkBytes,
  LinkKey,
  LinkRule,
  LinkShare,
  LoadHint,
  RouteRequest,
  RouterOptions,
  RoutingTarget,
  ServiceRule,
} from "./routing_types.ts";
