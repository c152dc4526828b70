/** Measures the processor time and the memory of operations in this process. */

/** Returns the heap size after a garbage collection; needs `--expose-gc`. */
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

/** Returns the heap size of the value that `create` returns. */
export function measureRetainedBytes(create: () => unknown): number {
  const before = measureHeapBytes();
  const retained = create();
  const after = measureHeapBytes();
  // This use keeps the value from being collected before the second measurement.
  if (retained === undefined) throw new Error("The callback created no value");
  return after - before;
}
