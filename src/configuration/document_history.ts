import { createHash } from "node:crypto";
import { getDocumentDigest } from "../document/mod.ts";
import type {
  ApplyDocument,
  DocumentResult,
  HistorySnapshot,
  KnownChange,
  LedgerLimits,
  MarkInForce,
  PromoteDocument,
  Revision,
} from "../protocol/generated/control.ts";

/** Maximum number of revisions that are kept for each environment. */
export const revisionLimit = 2000;
/**
 * Number of newest revisions of an environment whose document bytes are kept, in
 * addition to the newest revision in force.
 */
export const retainedDocumentLimit = 50;
/**
 * Size of the newest documents of an environment that are kept, besides the
 * current one and the one in force. 50 documents of 1 MiB, the size that all
 * releases accept, fit, so that releases retain the same revisions of them.
 */
const retainedDocumentBytes = retainedDocumentLimit * 1024 * 1024;
/**
 * Maximum number of change ids that are kept to recognize resent changes. They
 * last nearly four days at 2,100 changes a day.
 */
export const changeIdLimit = 8192;
/**
 * Maximum number of revisions that a conflict lists; the newest ones are listed.
 * Each conflict is stored with its change id, so this bounds the memory.
 */
const conflictRevisionLimit = 5;

/** Part of a log entry of the consensus group that carries its time. */
export interface EntryTime {
  readonly time: Date;
}

type ResultKind =
  | "accepted"
  | "conflict"
  | "change-id-reused"
  | "unknown-revision"
  | "not-in-force";

interface NewRevision {
  readonly environment: string;
  readonly baseRevision: number;
  readonly bytes: Buffer;
  readonly changeId: string;
  readonly operator: string;
  readonly ledgerLimits: LedgerLimits | undefined;
  readonly fromEnvironment: string;
  readonly fromRevision: number;
}

/**
 * Keeps the revisions of the documents of every environment. Deterministic:
 * the same commands in the same order give the same state on each instance.
 */
export class DocumentHistory {
  readonly #revisions = new Map<string, Revision[]>();
  readonly #documents = new Map<string, Buffer>();
  readonly #changes = new Map<string, KnownChange>();

  /**
   * Applies a document when its base is the current revision.
   * @param command The document and the revision that it replaces.
   * @param entry The log entry.
   * @returns The new revision, or a conflict with the revisions since the base.
   */
  apply(command: ApplyDocument, entry: EntryTime): DocumentResult {
    const digest = getCommandDigest([
      "apply",
      command.environment,
      command.baseRevision,
      getDocumentDigest(command.bytes),
    ]);
    return this.#runOnce(command.changeId, digest, () =>
      this.#append({
        ...command,
        fromEnvironment: "",
        fromRevision: 0,
      }, entry));
  }

  /**
   * Promotes a revision that was in force in another environment, with its exact
   * bytes.
   * @param command The revision to promote and the revision that it replaces.
   * @param entry The log entry.
   * @returns The new revision, or the reason why the promotion was refused.
   */
  promote(command: PromoteDocument, entry: EntryTime): DocumentResult {
    const digest = getCommandDigest([
      "promote",
      command.fromEnvironment,
      command.fromRevision,
      command.environment,
      command.baseRevision,
    ]);
    return this.#runOnce(command.changeId, digest, () => {
      const source = this.getRevision(
        command.fromEnvironment,
        command.fromRevision,
      );
      const bytes = source && this.#documents.get(source.digest);
      if (source === undefined || bytes === undefined) {
        return this.#createResult("unknown-revision", command.environment);
      }
      if (source.inForceMilliseconds === 0) {
        return this.#createResult("not-in-force", command.environment);
      }
      return this.#append({
        ...command,
        bytes,
        ledgerLimits: source.ledgerLimits,
      }, entry);
    });
  }

  /**
   * Marks a revision as in force on all live nodes of its environment.
   * @param command The revision.
   * @param entry The log entry.
   * @returns The current revision, or `unknown-revision`.
   */
  markInForce(command: MarkInForce, entry: EntryTime): DocumentResult {
    const { environment, revision } = command;
    const revisions = this.#revisions.get(environment) ?? [];
    const index = revisions.findIndex((each) => each.revision === revision);
    const marked = revisions[index];
    if (marked === undefined) {
      return this.#createResult("unknown-revision", environment);
    }
    if (marked.inForceMilliseconds === 0) {
      revisions[index] = {
        ...marked,
        inForceMilliseconds: Math.max(1, entry.time.getTime()),
      };
      this.#removeOld(environment);
    }
    return this.#createResult("accepted", environment);
  }

  /** Gets the names of the environments that have a document. */
  getEnvironments(): string[] {
    return [...this.#revisions.keys()].sort();
  }

  /** Gets the current revision of an environment. */
  getCurrent(environment: string): Revision | undefined {
    return this.#revisions.get(environment)?.at(-1);
  }

  /** Gets the newest revision that was in force on all live nodes. */
  getInForce(environment: string): Revision | undefined {
    return this.#revisions.get(environment)?.findLast((each) =>
      each.inForceMilliseconds > 0
    );
  }

  /** Gets a revision, unless it was removed or never existed. */
  getRevision(environment: string, revision: number): Revision | undefined {
    return this.#revisions.get(environment)?.find((each) =>
      each.revision === revision
    );
  }

  /**
   * Gets the newest revisions of an environment.
   * @param environment Its name.
   * @param limit Maximum number of revisions.
   * @returns The revisions, newest first.
   */
  getRevisions(environment: string, limit: number): Revision[] {
    const revisions = this.#revisions.get(environment) ?? [];
    return revisions.slice(Math.max(0, revisions.length - limit)).reverse();
  }

  /** Gets the bytes of a document, while they are kept. */
  getBytes(digest: string): Uint8Array | undefined {
    return this.#documents.get(digest);
  }

  /** Takes a snapshot of the state; equal states give equal snapshots. */
  takeSnapshot(): HistorySnapshot {
    return {
      revisions: this.getEnvironments().flatMap((each) =>
        this.#revisions.get(each) ?? []
      ),
      documents: [...this.#documents.keys()].sort().map((digest) => ({
        digest,
        bytes: this.#documents.get(digest) ?? Buffer.alloc(0),
      })),
      changes: [...this.#changes.values()],
    };
  }

  /** Replaces the state with that of a snapshot. */
  restoreSnapshot(snapshot: HistorySnapshot): void {
    this.#revisions.clear();
    this.#documents.clear();
    this.#changes.clear();
    for (const each of snapshot.revisions) {
      const revisions = this.#revisions.get(each.environment);
      if (revisions === undefined) {
        this.#revisions.set(each.environment, [each]);
      } else {
        revisions.push(each);
      }
    }
    for (const { digest, bytes } of snapshot.documents) {
      this.#documents.set(digest, bytes);
    }
    for (const each of snapshot.changes) {
      this.#changes.set(each.changeId, each);
    }
  }

  /**
   * Runs a change unless its id is known. A resent change gets the result of the
   * first run; an id that is reused for another change is refused.
   */
  #runOnce(
    changeId: string,
    commandDigest: string,
    run: () => DocumentResult,
  ): DocumentResult {
    const known = this.#changes.get(changeId);
    if (known?.commandDigest === commandDigest) {
      return known.result ?? emptyResult;
    }
    if (known !== undefined) {
      return { ...emptyResult, kind: "change-id-reused" };
    }
    const result = run();
    this.#changes.set(changeId, { changeId, commandDigest, result });
    if (this.#changes.size > changeIdLimit) {
      for (const oldest of this.#changes.keys()) {
        this.#changes.delete(oldest);
        break;
      }
    }
    return result;
  }

  #append(change: NewRevision, entry: EntryTime): DocumentResult {
    const { environment, baseRevision } = change;
    const current = this.getCurrent(environment);
    if ((current?.revision ?? 0) !== baseRevision) {
      return {
        ...this.#createResult("conflict", environment),
        sinceBase: this.getRevisions(environment, conflictRevisionLimit)
          .filter((each) => each.revision > baseRevision),
      };
    }
    const digest = getDocumentDigest(change.bytes);
    const revision: Revision = {
      environment,
      revision: baseRevision + 1,
      digest,
      operator: change.operator,
      changeId: change.changeId,
      timeMilliseconds: Math.max(0, entry.time.getTime()),
      sizeBytes: change.bytes.length,
      fromEnvironment: change.fromEnvironment,
      fromRevision: change.fromRevision,
      inForceMilliseconds: 0,
      ledgerLimits: change.ledgerLimits,
    };
    const revisions = this.#revisions.get(environment) ?? [];
    revisions.push(revision);
    this.#revisions.set(environment, revisions);
    this.#documents.set(digest, change.bytes);
    this.#removeOld(environment);
    return this.#createResult("accepted", environment);
  }

  /**
   * Removes revisions of an environment beyond the limit, and documents that no
   * environment retains. The newest revision in force is always kept.
   */
  #removeOld(environment: string): void {
    const revisions = this.#revisions.get(environment) ?? [];
    const inForce = this.getInForce(environment);
    while (revisions.length > revisionLimit) {
      revisions.splice(revisions[0] === inForce ? 1 : 0, 1);
    }
    const retainedDigests = new Set<string>();
    for (const name of this.#revisions.keys()) {
      let bytes = 0;
      for (const each of this.getRevisions(name, retainedDocumentLimit)) {
        bytes += each.sizeBytes;
        if (bytes > retainedDocumentBytes && bytes > each.sizeBytes) {
          break;
        }
        retainedDigests.add(each.digest);
      }
      retainedDigests.add(this.getInForce(name)?.digest ?? "");
    }
    for (const digest of this.#documents.keys()) {
      if (!retainedDigests.has(digest)) {
        this.#documents.delete(digest);
      }
    }
  }

  #createResult(kind: ResultKind, environment: string): DocumentResult {
    const current = this.getCurrent(environment);
    return {
      kind,
      revision: current?.revision ?? 0,
      digest: current?.digest ?? "",
      sinceBase: [],
    };
  }
}

const emptyResult: DocumentResult = {
  kind: "change-id-reused" satisfies ResultKind,
  revision: 0,
  digest: "",
  sinceBase: [],
};

function getCommandDigest(parts: readonly (string | number)[]): string {
  return createHash("sha256").update(JSON.stringify(parts)).digest("hex")
    .slice(0, 32);
}
