// Bundles each program into one file under target/, which loads faster than
// the modules one by one.
import { build } from "esbuild";

await build({
  entryPoints: ["platform/bin/platform_node.ts", "platform/bin/platform_control.ts"],
  outdir: "target",
  outExtension: { ".js": ".mjs" },
  bundle: true,
  platform: "node",
  format: "esm",
  target: "node20",
  minifySyntax: true,
  // Native modules, which stay in node_modules.
  external: ["fs-ext", "@node-rs/crc32"],
  // CommonJS libraries inside the bundle call require.
  banner: {
    js: "import { createRequire } from 'node:module'; const require = createRequire(import.meta.url);",
  },
  logLevel: "warning",
});
