import type { AcknowledgedDocument } from "./document_changer.ts";
import type { DocumentStart } from "./documents_in_force.ts";
import type { ProcessTimeline } from "./process_timeline.ts";
import { createViolation, type Violation } from "./violation.ts";

/** Time in which an accepted document must be in force; a target of the design. */
export const inForceMilliseconds = 5000;

/** What the processes of a run did with its documents. */
export interface LateDocumentCheckInput {
  readonly acknowledged: readonly AcknowledgedDocument[];
  /** The documents that each node put in force, by name. */
  readonly starts: ReadonlyMap<string, readonly DocumentStart[]>;
  readonly controlInstances: readonly string[];
  readonly timeline: ProcessTimeline;
  /** Time from which processes are stopped for good. */
  readonly endMilliseconds: number;
}

/** A document, and when it has to be in force at a node. */
export interface DueDocument {
  readonly node: string;
  readonly document: AcknowledgedDocument;
  readonly deadlineMilliseconds: number;
}

/**
 * Gets when each acknowledged document has to be in force at each node, as far as
 * that is before the end. The time counts anew from the end of whatever is done to
 * the node or to a control instance meanwhile.
 * @param input What was seen.
 */
export function getDueDocuments(input: LateDocumentCheckInput): DueDocument[] {
  const { acknowledged, starts, timeline, endMilliseconds } = input;
  return [...starts.keys()].flatMap((node) =>
    acknowledged.map((document) => ({
      node,
      document,
      deadlineMilliseconds: timeline.getCalmDeadline(
        [`${node}-node`, ...input.controlInstances],
        {
          fromMilliseconds: document.acknowledgedMilliseconds,
          milliseconds: inForceMilliseconds,
        },
      ),
    }))
  ).filter((each) => each.deadlineMilliseconds < endMilliseconds);
}

/**
 * Checks that each acknowledged document, or a later one, is in force at each node
 * in time.
 * @param input What was seen.
 * @returns The violations.
 */
export function checkLateDocuments(input: LateDocumentCheckInput): Violation[] {
  return getDueDocuments(input).flatMap(
    ({ node, document, deadlineMilliseconds }) => {
      const inForce =
        input.starts.get(node)?.findLast(({ milliseconds }) =>
          milliseconds <= deadlineMilliseconds
        )?.revision ?? 0;
      return inForce >= document.revision ? [] : [
        createViolation("late-document", {
          node,
          revision: document.revision,
          inForce,
          acknowledged: new Date(document.acknowledgedMilliseconds)
            .toISOString(),
          deadline: new Date(deadlineMilliseconds).toISOString(),
        }),
      ];
    },
  );
}
