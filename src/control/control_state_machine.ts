import { createHash } from "node:crypto";
import { match } from "ts-pattern";
import { DocumentHistory, QuarantineList } from "../configuration/mod.ts";
import { ClaimLedger } from "../ledger/mod.ts";
import {
  ControlCommand,
  ControlResult,
  ControlSnapshot,
  type LedgerCommand,
} from "../protocol/generated/control.ts";
import type { StateMachine } from "../consensus/mod.ts";

/** Format version of commands, results and snapshots. */
export const formatVersion = 1;

/** A change of the replicated state, as listeners receive it. */
export interface StateChange {
  readonly kind: "document" | "quarantine" | "restored";
  /** Environment that changed; absent when all may have changed. */
  readonly environment?: string;
}

/**
 * Holds the replicated state: documents, quarantine and idempotency claims.
 * Each command changes one of them.
 */
export class ControlStateMachine implements StateMachine {
  readonly history = new DocumentHistory();
  readonly quarantine = new QuarantineList();
  readonly ledger = new ClaimLedger((environment) =>
    this.history.getCurrent(environment)?.ledgerLimits
  );
  readonly #listeners: ((change: StateChange) => void)[] = [];
  #index = 0;
  #lastMilliseconds = 0;

  /** Index of the last applied log entry. */
  get index(): number {
    return this.#index;
  }

  /**
   * Registers a listener that is called after each command that may change a
   * document or the quarantine, and after a snapshot was restored.
   */
  subscribe(listener: (change: StateChange) => void): void {
    this.#listeners.push(listener);
  }

  apply(entry: Parameters<StateMachine["apply"]>[0]): Uint8Array {
    const { command, formatVersion: version } = ControlCommand.decode(
      entry.command,
    );
    if (version > formatVersion) {
      throw createVersionError("Log entry", version);
    }
    this.#index = entry.index;
    this.#lastMilliseconds = Math.max(
      this.#lastMilliseconds,
      entry.time.getTime(),
    );
    const context = { time: new Date(this.#lastMilliseconds) };
    const result = match(command)
      .returnType<ControlResult["result"]>()
      .with({ $case: "applyDocument" }, ({ applyDocument }) => ({
        $case: "document",
        document: this.history.apply(applyDocument, context),
      }))
      .with({ $case: "promoteDocument" }, ({ promoteDocument }) => ({
        $case: "document",
        document: this.history.promote(promoteDocument, context),
      }))
      .with({ $case: "markInForce" }, ({ markInForce }) => ({
        $case: "document",
        document: this.history.markInForce(markInForce, context),
      }))
      .with({ $case: "ledger" }, ({ ledger }) => ({
        $case: "ledger",
        ledger: { answers: this.#applyLedger(ledger, context.time) },
      }))
      .with({ $case: "quarantine" }, ({ quarantine }) => ({
        $case: "quarantine",
        quarantine: this.quarantine.add(quarantine, context),
      }))
      .with({ $case: "clearQuarantine" }, ({ clearQuarantine }) => ({
        $case: "quarantine",
        quarantine: this.quarantine.clear(clearQuarantine),
      }))
      .with(undefined, () => ({ $case: "unsupported", unsupported: {} }))
      .exhaustive();
    this.#notifyListeners(command);
    return ControlResult.encode({ formatVersion, result }).finish();
  }

  takeSnapshot(): Uint8Array {
    return ControlSnapshot.encode({
      formatVersion,
      index: this.#index,
      timeMilliseconds: this.#lastMilliseconds,
      history: this.history.takeSnapshot(),
      quarantine: this.quarantine.takeSnapshot(),
      ledger: this.ledger.takeSnapshot(),
    }).finish();
  }

  restoreSnapshot(bytes: Uint8Array): void {
    const snapshot = ControlSnapshot.decode(bytes);
    if (snapshot.formatVersion > formatVersion) {
      throw createVersionError("Snapshot", snapshot.formatVersion);
    }
    const { history, ledger } = snapshot;
    if (history === undefined || ledger === undefined) {
      throw new Error("Snapshot has no document history or no ledger");
    }
    this.#index = snapshot.index;
    this.#lastMilliseconds = snapshot.timeMilliseconds;
    this.history.restoreSnapshot(history);
    this.quarantine.restoreSnapshot(snapshot.quarantine);
    this.ledger.restoreSnapshot(ledger);
    this.#listeners.forEach((listener) => listener({ kind: "restored" }));
  }

  /** Gets a digest of the whole state. Encodes the state, so its cost grows with it. */
  getDigest(): string {
    return createHash("sha256").update(this.takeSnapshot()).digest("hex")
      .slice(0, 32);
  }

  #applyLedger(command: LedgerCommand, time: Date) {
    return command.batches.map((batch) =>
      this.ledger.apply({ index: this.#index, time, batch })
    );
  }

  #notifyListeners(command: ControlCommand["command"]): void {
    const change = match(command)
      .returnType<StateChange | undefined>()
      .with({ $case: "applyDocument" }, ({ applyDocument }) => ({
        kind: "document",
        environment: applyDocument.environment,
      }))
      .with({ $case: "promoteDocument" }, ({ promoteDocument }) => ({
        kind: "document",
        environment: promoteDocument.environment,
      }))
      .with({ $case: "quarantine" }, ({ quarantine }) => ({
        kind: "quarantine",
        environment: quarantine.environment,
      }))
      .with({ $case: "clearQuarantine" }, ({ clearQuarantine }) => ({
        kind: "quarantine",
        environment: clearQuarantine.environment,
      }))
      .otherwise(() => undefined);
    if (change !== undefined) {
      this.#listeners.forEach((listener) => listener(change));
    }
  }
}

function createVersionError(subject: string, version: number): Error {
  return new Error(
    `${subject} has format version ${version}; this release supports versions up to ${formatVersion}`,
  );
}
