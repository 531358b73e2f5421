import type { SessionHost } from "../session_server/mod.ts";

/** What the control process asks the session host about nodes and targets. */
export type FleetView = Pick<
  SessionHost,
  "getLiveNodes" | "getTargets" | "drain"
>;
