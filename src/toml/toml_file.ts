import { type AST, getStaticTOMLValue, parseTOML } from "toml-eslint-parser";
import { failed, type Finding, ok, type Result } from "../common/mod.ts";
import { TomlTableReader } from "./toml_table_reader.ts";

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
  let program: AST.TOMLProgram;
  let values: unknown;
  try {
    program = parseTOML(text);
    values = getStaticTOMLValue(program);
  } catch (error) {
    return failed([createSyntaxFinding(error, file)]);
  }
  const lines = collectLines(program);
  const findings: Finding[] = [];
  const reader = new TomlTableReader(values as Record<string, unknown>, "", {
    file,
    getLine: (key) => lines.get(key) ?? 0,
    findings,
  });
  return ok({ reader, findings });
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
