export {
  type ControlSettings,
  defaultDocumentBytes,
  parseControlSettings,
} from "./control_settings.ts";
export { type NodeSettings, parseNodeSettings } from "./node_settings.ts";
export {
  defaultListenerLimits,
  type ListenerLimits,
  readListenerLimits,
} from "./listener_limits.ts";
export { type Endpoint, parseEndpoint, readEndpoint } from "./endpoint.ts";
