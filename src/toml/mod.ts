export { parseTomlFile, type TomlFile } from "./toml_file.ts";
export {
  type GetKeyLine,
  type NumberRange,
  type TomlReadContext,
  TomlTableReader,
} from "./toml_table_reader.ts";
export {
  appendTomlElement,
  hasTomlKey,
  removeTomlElement,
  setTomlValue,
} from "./toml_editor.ts";
