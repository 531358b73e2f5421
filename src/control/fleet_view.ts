import type { SessionHost } from "../session_server/mod.ts";

/** The part of the session host that queries nodes and targets and drains targets. */
export type FleetView = Pick<
  SessionHost,
  "getLiveNodes" | "getTargets" | "drain"
>;
