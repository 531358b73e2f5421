export { parseTomlFile, type TomlFile } from "./toml_file.ts";
export {
  type LineOfKey,
  type NumberRange,
  type ReadContext,
  ValueReader,
} from "./value_reader.ts";
