/** A node and the session that holds its lease. */
export interface NodeRecord {
  readonly nodeId: string;
  readonly environment: string;
  readonly service: string;
  readonly region: string;
  readonly availabilityZone: string;
  readonly nodeAddress: string;
  /** Start of the node's process; larger is newer. */
  readonly incarnation: number;
  /** Grows with each session that the node opens, at whatever instance. */
  readonly sessionSequence: number;
  /** Grows with each change within a session. */
  readonly update: number;
  /** Document revision in force on the node; 0 for none. */
  readonly revision: number;
  /** Admission level of the node's service; 0 is open. */
  readonly admissionLevel: number;
  /** Disconnected while the lease runs but no instance has the session. */
  readonly state: "connected" | "disconnected" | "gone";
}

/**
 * Compares two records of the same node by age.
 * @param a A record.
 * @param b Another record of the same node.
 * @returns A positive number when `a` is newer, 0 when they are the same.
 */
export function compareNodeRecords(a: NodeRecord, b: NodeRecord): number {
  return a.incarnation - b.incarnation ||
    a.sessionSequence - b.sessionSequence ||
    a.update - b.update ||
    Number(a.state === "gone") - Number(b.state === "gone");
}

/** Gets a key that identifies a node across all environments. */
export function getNodeKey(
  record: Pick<NodeRecord, "environment" | "nodeId">,
): string {
  return `${record.environment}\0${record.nodeId}`;
}

/** Gets a text that identifies one version of a node record. */
export function getNodeVersion(record: NodeRecord): string {
  return `${record.nodeId}\0${record.incarnation}\0${record.sessionSequence}\0${record.update}`;
}
