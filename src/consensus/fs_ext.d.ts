declare module "fs-ext" {
  /** Locks an open file; throws with code EAGAIN when it is locked. */
  export function flockSync(
    descriptor: number,
    flags: "ex" | "exnb" | "sh" | "shnb" | "un",
  ): void;
}
