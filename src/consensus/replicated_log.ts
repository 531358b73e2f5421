import { DurableStorage } from "./durable_storage.ts";
import { LogInstance } from "./log_instance.ts";
import { createNodeFileSystem } from "./node_file_system.ts";
import type {
  ReplicatedLog,
  ReplicatedLogOptions,
} from "./replicated_log_types.ts";

/**
 * Opens the data folder and starts this instance of the replicated log. Throws
 * a `StorageError` when the folder cannot be used.
 * @param options Folder, address, members and state machine.
 * @returns The running log, which may not know a leader yet.
 */
export async function createReplicatedLog(
  options: ReplicatedLogOptions,
): Promise<ReplicatedLog> {
  const storage = await DurableStorage.open(
    options.files ?? createNodeFileSystem(options.dataFolder),
    { log: options.log, mayBeCopy: options.mayFolderBeCopy },
  );
  if (storage.state.snapshot.index > 0) {
    options.stateMachine.restoreSnapshot(storage.snapshotData);
  }
  const instance = new LogInstance(storage, options);
  try {
    await instance.start();
  } catch (error) {
    await storage.close();
    throw error;
  }
  return instance;
}
