export function createHttpInstanceList(_o: unknown): any {
  return {};
}
