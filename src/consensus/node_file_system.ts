import { closeSync, fstatSync, fsyncSync, openSync } from "node:fs";
import { mkdir, open, readFile, rename, rm } from "node:fs/promises";
import { dirname, join } from "node:path";
import fsExt from "fs-ext";
import type { FileSystem, FolderLock, OpenFile } from "./file_system.ts";

/**
 * Creates a file system for the files of one folder.
 * @param folder Path of the folder.
 */
export function createNodeFileSystem(folder: string): FileSystem {
  const syncPath = async (path: string) => {
    const handle = await open(path, "r");
    try {
      await handle.sync();
    } finally {
      await handle.close();
    }
  };
  return {
    prepare: async () => {
      const created = await mkdir(folder, { recursive: true });
      if (created !== undefined) {
        await syncPath(dirname(created));
      }
    },
    open: (name) => openFile(join(folder, name)),
    readFile: async (name) => {
      try {
        return await readFile(join(folder, name));
      } catch (error) {
        if ((error as NodeJS.ErrnoException).code === "ENOENT") {
          return undefined;
        }
        throw error;
      }
    },
    rename: (from, to) => rename(join(folder, from), join(folder, to)),
    remove: (name) => rm(join(folder, name), { force: true }),
    syncFolder: () => syncPath(folder),
    lock: (name) => Promise.resolve(lockFile(join(folder, name))),
  };
}

async function openFile(path: string): Promise<OpenFile> {
  const handle = await open(path, "a+");
  return {
    append: async (bytes) => {
      let offset = 0;
      while (offset < bytes.length) {
        const { bytesWritten } = await handle.write(bytes, offset);
        offset += bytesWritten;
      }
    },
    truncate: (length) => handle.truncate(length),
    sync: () => handle.datasync(),
    read: async (offset, length) => {
      const buffer = Buffer.alloc(length);
      const { bytesRead } = await handle.read(buffer, 0, length, offset);
      return buffer.subarray(0, bytesRead);
    },
    close: () => handle.close(),
  };
}

function lockFile(path: string): FolderLock | undefined {
  const descriptor = openSync(path, "a");
  try {
    fsExt.flockSync(descriptor, "exnb");
  } catch (error) {
    closeSync(descriptor);
    const { code } = error as NodeJS.ErrnoException;
    if (code === "EAGAIN" || code === "EWOULDBLOCK") {
      return undefined;
    }
    throw error;
  }
  // The mark has to outlast a loss of power, although nothing is written.
  fsyncSync(descriptor);
  const { ino, birthtimeNs } = fstatSync(descriptor, { bigint: true });
  return {
    folderMark: `${ino}:${birthtimeNs}`,
    release: () => closeSync(descriptor),
  };
}
