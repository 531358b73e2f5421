import { type AST, parseTOML } from "toml-eslint-parser";

/** A table that keys can be added to: one with a header, or an inline one. */
type Container = AST.TOMLTable | AST.TOMLInlineTable;

/** Keys, elements and tables of a text, with their positions. */
interface TomlOutline {
  readonly program: AST.TOMLProgram;
  /** Values by the parts of their keys. */
  readonly values: ReadonlyMap<string, AST.TOMLContentNode>;
  readonly containers: ReadonlyMap<string, Container>;
}

/**
 * Reports whether a text has a key, or keys below it.
 * @param text The valid TOML text.
 * @param path Parts of the key.
 */
export function hasTomlKey(text: string, path: readonly string[]): boolean {
  const { values, containers } = readOutline(text);
  const prefix = `${getMapKey(path).slice(0, -1)},`;
  return [...values.keys(), ...containers.keys()].some((key) =>
    key === getMapKey(path) || key.startsWith(prefix)
  );
}

/**
 * Sets the value of a key. Everything else, comments included, stays.
 * @param text The valid TOML text.
 * @param path Parts of the key.
 * @param value The value as TOML.
 * @returns The new text; `undefined` when no table can receive the key.
 */
export function setTomlValue(
  text: string,
  path: readonly string[],
  value: string,
): string | undefined {
  const { values, containers } = readOutline(text);
  const present = values.get(getMapKey(path));
  if (present !== undefined) {
    return replaceRange(text, present.range, value);
  }
  for (let length = path.length - 1; length > 0; length--) {
    const container = containers.get(getMapKey(path.slice(0, length)));
    if (container !== undefined) {
      const pair = `${path.slice(length).join(".")} = ${value}`;
      return container.type === "TOMLInlineTable"
        ? insertIntoInlineTable(text, container, pair)
        : insertLine(text, getTableEnd(container), pair);
    }
  }
  return undefined;
}

/**
 * Adds an element to the end of a list, in the form that the list has. Creates
 * the list when the key is absent.
 * @param text The valid TOML text.
 * @param path Parts of the key of the list.
 * @param element The element as TOML.
 * @returns The new text; `undefined` when no table can receive the key.
 */
export function appendTomlElement(
  text: string,
  path: readonly string[],
  element: string,
): string | undefined {
  const { program, values } = readOutline(text);
  const list = values.get(getMapKey(path));
  if (list?.type !== "TOMLArray") {
    return setTomlValue(text, path, `[${element}]`);
  }
  const last = list.elements.at(-1);
  if (last === undefined) {
    const start = list.range[0] + 1;
    return replaceRange(text, [start, start], element);
  }
  const comma = getCommaBehind(program, last, list);
  const end = comma?.range[1] ?? last.range[1];
  const isOnOwnLine = isBlank(
    text.slice(getLineStart(text, last.range[0]), last.range[0]),
  );
  if (!isOnOwnLine) {
    const separator = comma === undefined ? ", " : " ";
    return replaceRange(text, [end, end], `${separator}${element}`);
  }
  const indent = text.slice(getLineStart(text, last.range[0]), last.range[0]);
  const separated = comma === undefined
    ? replaceRange(text, [end, end], ",")
    : text;
  const nextEnd = comma === undefined ? end + 1 : end;
  const hasListEnd = getLineEnd(text, end) >= list.range[1];
  const trailingComma = comma === undefined ? "" : ",";
  return hasListEnd
    ? replaceRange(
      separated,
      [nextEnd, nextEnd],
      `${getLineBreak(text)}${indent}${element}${trailingComma}`,
    )
    : insertLine(separated, nextEnd, `${indent}${element}${trailingComma}`);
}

/**
 * Removes an element of a list, with the comment behind it when it has a line of
 * its own.
 * @param text The valid TOML text.
 * @param path Parts of the key of the list.
 * @param index Index of the element.
 * @returns The new text; `undefined` when there is no such element.
 */
export function removeTomlElement(
  text: string,
  path: readonly string[],
  index: number,
): string | undefined {
  const { program, values } = readOutline(text);
  const list = values.get(getMapKey(path));
  const element = list?.type === "TOMLArray" ? list.elements[index] : undefined;
  if (list?.type !== "TOMLArray" || element === undefined) {
    return undefined;
  }
  const comma = getCommaBehind(program, element, list);
  let [start, end] = element.range;
  if (comma !== undefined) {
    end = comma.range[1];
  }
  const lineStart = getLineStart(text, start);
  const lineEnd = getLineEnd(text, end);
  const rest = text.slice(end, lineEnd);
  const isOnOwnLine = isBlank(text.slice(lineStart, start)) &&
    /^[ \t]*(#.*)?\r?$/.test(rest);
  if (isOnOwnLine) {
    return replaceRange(text, [lineStart, lineEnd + 1], "");
  }
  const previous = list.elements[index - 1];
  if (comma !== undefined) {
    end += /^[ \t]*/.exec(text.slice(end))?.[0].length ?? 0;
  } else if (previous !== undefined) {
    start = previous.range[1];
  }
  return replaceRange(text, [start, end], "");
}

function readOutline(text: string): TomlOutline {
  const program = parseTOML(text);
  const values = new Map<string, AST.TOMLContentNode>();
  const containers = new Map<string, Container>();
  const addPair = (parent: readonly string[], pair: AST.TOMLKeyValue): void => {
    const path = [
      ...parent,
      ...pair.key.keys.map((part) =>
        part.type === "TOMLBare" ? part.name : part.value
      ),
    ];
    const { value } = pair;
    values.set(getMapKey(path), value);
    if (value.type === "TOMLInlineTable") {
      containers.set(getMapKey(path), value);
      value.body.forEach((each) => addPair(path, each));
    }
  };
  for (const node of program.body[0].body) {
    if (node.type === "TOMLKeyValue") {
      addPair([], node);
    } else {
      const path = node.resolvedKey.map(String);
      containers.set(getMapKey(path), node);
      node.body.forEach((pair) => addPair(path, pair));
    }
  }
  return { program, values, containers };
}

function getMapKey(path: readonly string[]): string {
  return JSON.stringify(path);
}

/** Gets the position behind the last key of a table, or behind its header. */
function getTableEnd(table: AST.TOMLTable): number {
  return table.body.at(-1)?.range[1] ?? table.range[1];
}

function insertIntoInlineTable(
  text: string,
  table: AST.TOMLInlineTable,
  pair: string,
): string {
  const last = table.body.at(-1);
  const position = last?.range[1] ?? table.range[0] + 1;
  const inserted = last === undefined ? ` ${pair} ` : `, ${pair}`;
  return replaceRange(text, [position, position], inserted);
}

/** Inserts a line behind the line of a position. */
function insertLine(text: string, position: number, line: string): string {
  const end = getLineEnd(text, position);
  const lineBreak = getLineBreak(text);
  return end === text.length
    ? `${text}${lineBreak}${line}${lineBreak}`
    : replaceRange(text, [end + 1, end + 1], `${line}${lineBreak}`);
}

function getCommaBehind(
  { tokens }: AST.TOMLProgram,
  element: AST.TOMLContentNode,
  list: AST.TOMLArray,
): AST.Token | undefined {
  const next = tokens.find(({ range }) => range[0] >= element.range[1]);
  return next?.value === "," && next.range[0] < list.range[1]
    ? next
    : undefined;
}

function replaceRange(
  text: string,
  [start, end]: readonly [number, number],
  replacement: string,
): string {
  return text.slice(0, start) + replacement + text.slice(end);
}

function getLineStart(text: string, position: number): number {
  return text.lastIndexOf("\n", position - 1) + 1;
}

/** Gets the position of the line feed that ends a line, or the text's end. */
function getLineEnd(text: string, position: number): number {
  const end = text.indexOf("\n", position);
  return end < 0 ? text.length : end;
}

function getLineBreak(text: string): string {
  return text.includes("\r\n") ? "\r\n" : "\n";
}

function isBlank(text: string): boolean {
  return /^[ \t]*$/.test(text);
}
