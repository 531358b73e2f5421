/**
 * Removes headers in place.
 * @param headers Alternating names and values.
 * @param removedNames Names in lower case.
 */
export function removeHeaders(
  headers: string[],
  removedNames: ReadonlySet<string>,
): void {
  let keptLength = 0;
  for (let index = 0; index < headers.length; index += 2) {
    const name = headers[index] as string;
    if (!removedNames.has(name.toLowerCase())) {
      headers[keptLength++] = name;
      headers[keptLength++] = headers[index + 1] as string;
    }
  }
  headers.length = keptLength;
}
