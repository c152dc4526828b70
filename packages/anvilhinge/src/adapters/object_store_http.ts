export function createHttpObjectStore(_o: unknown): any {
  return {};
}
