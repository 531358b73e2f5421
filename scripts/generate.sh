#!/usr/bin/env bash
# Generates src/protocol/generated from the .proto files (needs protoc).
set -euo pipefail
cd "$(dirname "$0")/.."
protoc \
  --plugin=protoc-gen-ts_proto=node_modules/.bin/protoc-gen-ts_proto \
  --ts_proto_out=src/protocol/generated \
  --ts_proto_opt=esModuleInterop=true,importSuffix=.ts,env=node,forceLong=number \
  --ts_proto_opt=oneof=unions,outputServices=grpc-js,outputJsonMethods=false \
  --ts_proto_opt=outputPartialMethods=false,useExactTypes=false,outputIndex=false \
  --proto_path=src/protocol src/protocol/*.proto
