/** Measures processor time and memory of work in this process. */

/** Returns bytes in use after a full collection; needs `--expose-gc`. */
export function measureHeapBytes(): number {
  globalThis.gc?.();
  globalThis.gc?.();
  return process.memoryUsage().heapUsed;
}

/** Returns the processor time of `work` in microseconds. */
export async function measureCpuUs(
  work: () => void | Promise<void>,
): Promise<number> {
  const before = process.cpuUsage();
  await work();
  const used = process.cpuUsage(before);
  return used.user + used.system;
}

/** Returns bytes that stay in use by what `create` returns. */
export function measureRetainedBytes(create: () => unknown): number {
  const before = measureHeapBytes();
  const kept = create();
  const after = measureHeapBytes();
  // Read after the second measurement, so that it is not collected before.
  if (kept === undefined) throw new Error("Nothing was created");
  return after - before;
}
