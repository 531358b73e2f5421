import { randomBytes, randomUUID } from "node:crypto";
import { isDeepStrictEqual } from "node:util";
import { failed, ok, type Result } from "../common/mod.ts";
import {
  getKeyDigest,
  parseDocument,
  type Quota,
  type Tenant,
} from "../document/mod.ts";
import { formatVersion } from "../protocol/format_version.ts";
import { OperatorService } from "../protocol/generated/operator.ts";
import type { CommandContext } from "./command_context.ts";
import {
  type CommandOutcome,
  createFailureOutcome,
  createFindingsOutcome,
  formatColumns,
} from "./command_outcome.ts";
import { getChangeTimeoutMilliseconds } from "./control_connection.ts";
import { getDocument } from "./document_commands.ts";
import { exitCodes } from "./exit_code.ts";
import { finishChange, waitUntilInForce } from "./finish_change.ts";
import {
  createKeyAddition,
  createKeyWithdrawal,
  createQuotaEdit,
  editTenant,
  type TenantEdit,
} from "./tenant_edit.ts";

/** Sends of a change that conflicts with changes of other parts. */
const maximumAttempts = 5;
/** Random bytes of a generated key. */
const keyBytes = 32;
/**
 * Characters of a key that are sent in a header. The lower limit keeps keys from
 * being found by trying which text has a digest.
 */
const keyPattern = /^[!-~]{16,512}$/;
/** Characters of a digest that name a key, unless they are ambiguous. */
const minimumPrefixLength = 6;

/** Tenant that a command concerns, and the time limit of its wait. */
export interface TenantOptions {
  readonly environment: string;
  readonly tenant: string;
  readonly waitSeconds: number;
}

/** The tenants of the current document. */
interface CurrentTenants {
  readonly revision: number;
  readonly text: string;
  readonly classes: readonly string[];
  readonly tenants: readonly Tenant[];
}

/** What a command does with the tenant that the current document has. */
type TenantDecision =
  | { readonly kind: "change"; readonly edit: TenantEdit }
  /** The document already is as the command wants it. */
  | { readonly kind: "unchanged"; readonly message: string }
  | { readonly kind: "refused"; readonly reason: string; message: string };

/** Decides on a change from the current tenants. */
type DecideChange = (
  tenant: Tenant,
  tenants: readonly Tenant[],
) => TenantDecision;

/**
 * Lists the tenants of the current document.
 * @param context Context of the command.
 * @param environment The environment.
 * @returns The tenants, without digests of keys.
 */
export async function listTenants(
  context: CommandContext,
  environment: string,
): Promise<CommandOutcome> {
  const current = await readTenants(context, environment);
  if (current.kind === "error") {
    return current.error;
  }
  const { revision, tenants } = current.value;
  const described = tenants.map((each) => describe(each, current.value));
  return {
    exitCode: exitCodes.ok,
    json: {
      environment,
      revision,
      tenants: described.map(({ keyDigests, ...rest }) => ({
        ...rest,
        keys: keyDigests.length,
      })),
    },
    lines: tenants.length === 0
      ? [`${environment} revision ${revision} has no tenants`]
      : formatColumns([
        ["TENANT", "CLASS", "REQUESTS/S", "BURST", "KEYS"],
        ...described.map((each) => [
          each.name,
          each.class ?? "-",
          String(each.quota?.requestsPerSecond ?? "no limit"),
          String(each.quota?.burst ?? "-"),
          String(each.keyDigests.length),
        ]),
      ]),
  };
}

/**
 * Shows a tenant of the current document.
 * @param context Context of the command.
 * @param options The environment and the tenant.
 * @returns The tenant with the digests of its keys.
 */
export async function showTenant(
  context: CommandContext,
  options: { environment: string; tenant: string },
): Promise<CommandOutcome> {
  const current = await readTenants(context, options.environment);
  if (current.kind === "error") {
    return current.error;
  }
  const { tenants, revision } = current.value;
  const tenant = tenants.find(({ name }) => name === options.tenant);
  if (tenant === undefined) {
    return createUnknownTenantOutcome(options);
  }
  const described = describe(tenant, current.value);
  const { quota, keyDigests } = described;
  return {
    exitCode: exitCodes.ok,
    json: { environment: options.environment, revision, ...described },
    lines: [
      `${tenant.name} in ${options.environment} revision ${revision}`,
      `class: ${described.class ?? "that of the route"}`,
      quota === undefined
        ? "quota: no limit"
        : `quota: ${quota.requestsPerSecond} requests/s, burst ${quota.burst}`,
      `keys: ${keyDigests.length}`,
      ...keyDigests.map((digest) => `  ${digest}`),
    ],
  };
}

/**
 * Changes the quota of a tenant.
 * @param context Context of the command.
 * @param options The tenant and its quota; a rate of 0 means no limit.
 * @returns Whether the change is in force.
 */
export function setQuota(
  context: CommandContext,
  options: TenantOptions & Quota,
): Promise<CommandOutcome> {
  const { requestsPerSecond, burst } = options;
  const edit = createQuotaEdit({ requestsPerSecond, burst });
  return changeTenant(
    context,
    options,
    (tenant) =>
      isDeepStrictEqual(edit.getResult(tenant), tenant)
        ? { kind: "unchanged", message: `${tenant.name} has this quota` }
        : { kind: "change", edit },
  );
}

/**
 * Adds a key to a tenant. Only the digest of the key is sent to control.
 * @param context Context of the command.
 * @param options The tenant, and whether the key is generated. Otherwise it is
 * read from standard input.
 * @returns Whether the key is in force, and the key if it was generated.
 */
export async function addKey(
  context: CommandContext,
  options: TenantOptions & { generate?: boolean },
): Promise<CommandOutcome> {
  const generated = options.generate
    ? randomBytes(keyBytes).toString("base64url")
    : undefined;
  const key = generated ?? (await context.readInput()).trim();
  if (!keyPattern.test(key)) {
    return createRefusal(
      "invalid-key",
      "Expected a key of 16 to 512 visible ASCII characters on standard input",
    );
  }
  const digest = getKeyDigest(key);
  let isSent = false;
  const outcome = await changeTenant(context, options, (tenant, tenants) => {
    const holder = tenants.find((each) => each.keyDigests.includes(digest));
    isSent = holder === undefined;
    return holder === undefined
      ? { kind: "change", edit: createKeyAddition(digest) }
      : holder === tenant
      ? { kind: "unchanged", message: `${tenant.name} holds this key` }
      : {
        kind: "refused",
        reason: "key-in-use",
        message: `Tenant ${holder.name} holds this key`,
      };
  });
  return generated !== undefined && isSent && mayBeInForce(outcome)
    ? addGeneratedKey(outcome, generated)
    : outcome;
}

/**
 * Withdraws a key from a tenant.
 * @param context Context of the command.
 * @param options The tenant, and the start of the key's digest; absent to read
 * the key from standard input.
 * @returns Whether the key is withdrawn at all nodes.
 */
export async function withdrawKey(
  context: CommandContext,
  options: TenantOptions & { digest?: string | undefined },
): Promise<CommandOutcome> {
  const { digest } = options;
  if (digest !== undefined && digest.length < minimumPrefixLength) {
    return createRefusal(
      "invalid-digest",
      `Expected at least ${minimumPrefixLength} characters of a digest`,
    );
  }
  const prefix = digest ?? getKeyDigest((await context.readInput()).trim());
  return await changeTenant(context, options, (tenant) => {
    const [found, ...others] = tenant.keyDigests.filter((each) =>
      each.startsWith(prefix)
    );
    if (found === undefined) {
      const message = `${tenant.name} holds no key with this digest`;
      return { kind: "refused", reason: "unknown-key", message };
    }
    if (others.length > 0) {
      const message = "Several keys have digests that start like this";
      return { kind: "refused", reason: "ambiguous-digest", message };
    }
    return { kind: "change", edit: createKeyWithdrawal(found) };
  });
}

/**
 * Makes a change on top of the current document. Repeats it on a newer document
 * as long as the tenant itself is the same there.
 */
async function changeTenant(
  context: CommandContext,
  options: TenantOptions,
  decide: DecideChange,
): Promise<CommandOutcome> {
  const { environment, waitSeconds } = options;
  let first: Tenant | undefined;
  for (let attempt = 1;; attempt++) {
    const current = await readTenants(context, environment);
    if (current.kind === "error") {
      return current.error;
    }
    const { text, revision, tenants } = current.value;
    const tenant = tenants.find(({ name }) => name === options.tenant);
    if (tenant === undefined) {
      return createUnknownTenantOutcome(options);
    }
    first ??= tenant;
    if (!isDeepStrictEqual(first, tenant)) {
      const message = `Another change of ${tenant.name} came first; ` +
        `see tenant show and history`;
      return createRefusal("conflict", message, exitCodes.conflict);
    }
    const decision = decide(tenant, tenants);
    if (decision.kind === "refused") {
      return createRefusal(decision.reason, decision.message);
    }
    if (decision.kind === "unchanged") {
      return await waitUntilInForce(context, {
        environment,
        revision,
        waitSeconds,
        json: { result: "unchanged", environment, revision },
        lines: [`unchanged: ${decision.message} in revision ${revision}`],
      });
    }
    const edited = editTenant(text, tenant.name, decision.edit);
    if (edited.kind === "error") {
      return createRefusal("not-editable", edited.error);
    }
    const outcome = await sendDocument(context, options, {
      text: edited.value,
      base: revision,
    });
    if (outcome.exitCode !== exitCodes.conflict || attempt >= maximumAttempts) {
      return outcome;
    }
  }
}

async function sendDocument(
  context: CommandContext,
  { environment, waitSeconds }: TenantOptions,
  change: { text: string; base: number },
): Promise<CommandOutcome> {
  const { text, base } = change;
  const changeId = randomUUID();
  context.showProgress(`changing ${environment} revision ${base}`);
  const response = await context.connection.call(OperatorService.apply, {
    formatVersion,
    environment,
    baseRevision: base,
    bytes: Buffer.from(text),
    changeId,
    operator: context.operator,
    file: "document",
  }, { attemptTimeoutMilliseconds: getChangeTimeoutMilliseconds(text.length) });
  const unknown = response.kind === "error" &&
    response.error.kind !== "unauthenticated";
  return unknown
    ? createFailureOutcome(
      response.error,
      "The change may have been made; run the command again to make sure",
    )
    : await finishChange(context, response, {
      environment,
      base,
      changeId,
      wait: true,
      waitSeconds,
    });
}

async function readTenants(
  context: CommandContext,
  environment: string,
): Promise<Result<CurrentTenants, CommandOutcome>> {
  const found = await getDocument(context, environment, 0);
  if (found.kind === "error") {
    return failed(createFailureOutcome(found.error));
  }
  const text = found.value.bytes.toString();
  const parsed = parseDocument(text, environment);
  if (parsed.kind === "error") {
    return failed(createFindingsOutcome(parsed.error, ""));
  }
  return ok({
    text,
    revision: found.value.revision?.revision ?? 0,
    classes: parsed.value.classes,
    tenants: parsed.value.tenants ?? [],
  });
}

function describe(
  { name, classIndex, quota, keyDigests }: Tenant,
  { classes }: CurrentTenants,
) {
  const className = classIndex === undefined ? undefined : classes[classIndex];
  return { name, class: className, quota, keyDigests };
}

/** Reports whether the change of an outcome was made, or may have been. */
function mayBeInForce({ exitCode }: CommandOutcome): boolean {
  return exitCode === exitCodes.ok || exitCode === exitCodes.notInForce ||
    exitCode === exitCodes.unreachable;
}

function addGeneratedKey(
  outcome: CommandOutcome,
  key: string,
): CommandOutcome {
  return {
    ...outcome,
    json: { ...outcome.json as object, key },
    lines: [...outcome.lines, `key, shown only here: ${key}`],
  };
}

function createUnknownTenantOutcome(
  { environment, tenant }: { environment: string; tenant: string },
): CommandOutcome {
  return createRefusal(
    "unknown-tenant",
    `The current document of ${environment} has no tenant ${tenant}`,
  );
}

function createRefusal(
  error: string,
  message: string,
  exitCode: CommandOutcome["exitCode"] = exitCodes.invalidInput,
): CommandOutcome {
  return {
    exitCode,
    json: { error, message },
    lines: [`${error}: ${message}`],
  };
}
