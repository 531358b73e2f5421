import { parse } from "smol-toml";
import { type AST, getStaticTOMLValue, parseTOML } from "toml-eslint-parser";
import { failed, type Finding, ok, type Result } from "../common/mod.ts";
import { TomlTableReader } from "./toml_table_reader.ts";

/**
 * Size from which on a text is parsed without positions at first. With them,
 * 100,000 keys of tenants take 1.4 s and 280 MB, without 0.2 s and 30 MB.
 */
const largeTextLength = 256 * 1024;

/** A parsed TOML file. */
export interface TomlFile {
  /** Reads the top-level table. */
  readonly reader: TomlTableReader;
  /** Findings that the readers add while keys are read. */
  readonly findings: Finding[];
}

/**
 * Parses the text of a TOML file and records the line of each key.
 * @param text The text.
 * @param file Name of the file, used in findings.
 * @returns A reader of the top-level table, or a finding with the syntax error.
 */
export function parseTomlFile(
  text: string,
  file: string,
): Result<TomlFile, Finding[]> {
  let lines: Map<string, number> | undefined;
  let values = text.length < largeTextLength
    ? undefined
    : parseWithoutPositions(text);
  if (values === undefined) {
    try {
      const program = parseTOML(text);
      values = getStaticTOMLValue(program) as Record<string, unknown>;
      lines = collectLines(program);
    } catch (error) {
      return failed([createSyntaxFinding(error, file)]);
    }
  }
  const findings: Finding[] = [];
  const reader = new TomlTableReader(values, "", {
    file,
    getLine: (key) => (lines ??= readLines(text)).get(key) ?? 0,
    findings,
  });
  return ok({ reader, findings });
}

/** Parses a text; `undefined` when it has to be parsed for its errors. */
function parseWithoutPositions(
  text: string,
): Record<string, unknown> | undefined {
  try {
    return parse(text);
  } catch {
    return undefined;
  }
}

function readLines(text: string): Map<string, number> {
  try {
    return collectLines(parseTOML(text));
  } catch {
    // The parsers differ about the text; the finding has no line.
    return new Map();
  }
}

function createSyntaxFinding(error: unknown, file: string): Finding {
  const { lineNumber, message } = error as {
    lineNumber?: number;
    message?: string;
  };
  return {
    file,
    line: lineNumber ?? 0,
    key: "",
    message: message ?? String(error),
  };
}

function collectLines(program: AST.TOMLProgram): Map<string, number> {
  const lines = new Map<string, number>();
  for (const node of program.body[0].body) {
    if (node.type === "TOMLTable") {
      const path = node.resolvedKey.join(".");
      lines.set(path, node.loc.start.line);
      for (const pair of node.body) {
        addPairLines(lines, path, pair);
      }
    } else {
      addPairLines(lines, "", node);
    }
  }
  return lines;
}

function addPairLines(
  lines: Map<string, number>,
  parent: string,
  pair: AST.TOMLKeyValue,
): void {
  let path = parent;
  for (const part of pair.key.keys) {
    const name = part.type === "TOMLBare" ? part.name : part.value;
    path = path === "" ? name : `${path}.${name}`;
    if (!lines.has(path)) {
      lines.set(path, pair.loc.start.line);
    }
  }
  addContentLines(lines, path, pair.value);
}

function addContentLines(
  lines: Map<string, number>,
  path: string,
  content: AST.TOMLContentNode,
): void {
  if (content.type === "TOMLInlineTable") {
    content.body.forEach((pair) => addPairLines(lines, path, pair));
  } else if (content.type === "TOMLArray") {
    content.elements.forEach((element, index) => {
      lines.set(`${path}.${index}`, element.loc.start.line);
      addContentLines(lines, `${path}.${index}`, element);
    });
  }
}
