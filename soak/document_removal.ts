/** A part that a document lacks for a while. */
export interface DocumentRemoval {
  readonly service: string;
  /** The only route that is removed; absent to remove the whole service. */
  readonly route?: { readonly method: string; readonly path: string };
}

/**
 * Removes parts of a document whose tables are separated by empty lines.
 * @param text The document, as TOML.
 * @param removals The parts to remove.
 * @returns The document without these parts, and without calls to services that
 * it no longer has.
 */
export function removeParts(
  text: string,
  removals: readonly DocumentRemoval[],
): string {
  const tables = text.split("\n\n").filter((table) =>
    !removals.some((removal) => isRemoved(table, removal))
  );
  return removals.filter(({ route }) => route === undefined).reduce(
    (rest, { service }) =>
      rest.replaceAll(`calls = [{ service = "${service}" }]\n`, ""),
    tables.join("\n\n"),
  );
}

function isRemoved(
  table: string,
  { service, route }: DocumentRemoval,
): boolean {
  const isRoute = table.startsWith("[[routes]]") &&
    table.includes(`\nservice = "${service}"`);
  return route === undefined
    ? isRoute || table.startsWith(`[services.${service}]`)
    : isRoute && table.includes(`\nmethod = "${route.method}"`) &&
      table.includes(`\npath = "${route.path}"`);
}
