import { randomBytes, randomUUID } from 'node:crypto';

import type {
  ConfigReplica,
  Membership,
  ObjectStore,
  StoredObject,
  VersionPermits,
} from '@cactusstair/coordination';
import { exportBills } from '@cactusstair/coordination';
import type { Change, Failure, GetRequest, OperatorServer } from '@cactusstair/protocol';
import {
  Cascade,
  createFailure,
  Model,
  Rollout,
  SessionKeys,
  Upstream,
  VersionState,
  Workspace,
} from '@cactusstair/protocol';
import type { Clock } from '@cactusstair/utils';
import type { handleUnaryCall } from '@grpc/grpc-js';
import type { Result } from 'neverthrow';
import { err, ok } from 'neverthrow';

import type { AddressBook } from '../peers/addressBook.js';
import type { RolloutEditor } from '../rollouts/rolloutEditor.js';
import {
  checkCascade,
  checkModel,
  checkRollout,
  checkUpstream,
  checkWorkspace,
} from './changeRules.js';
import { describeChange } from './changeStatus.js';
import type { ConfigEditor } from './configEditor.js';
import { createServiceError } from './operatorFailure.js';

/** Options of `createOperatorService`. */
export interface OperatorServiceOptions {
  editor: ConfigEditor;
  rollouts: RolloutEditor;
  store: ObjectStore;
  replica: ConfigReplica;
  membership: Membership;
  addresses: AddressBook;
  permits: VersionPermits;
  clock: Clock;
  sessionLifetimeMs: number;
}

type Handler<Request, Reply> = (
  request: Request,
) => Promise<Result<Reply, Failure>> | Result<Reply, Failure>;

/**
 * A new session key signs after this time, so that every instance has received it by then and
 * accepts the tokens that it signs.
 */
const KEY_DISTRIBUTION_MS = 15_000;
const SESSION_KEY_BYTES = 32;
const DELETABLE_KINDS: readonly string[] = ['workspace', 'model', 'upstream', 'cascade', 'rollout'];

/** Adapts a handler to gRPC; failures carry their result code in the metadata. */
function createHandler<Request, Reply>(
  run: Handler<Request, Reply>,
): handleUnaryCall<Request, Reply> {
  return (call, callback) => {
    Promise.resolve()
      .then(() => run(call.request))
      .catch((error: unknown) => err(createFailure('internal', String(error))))
      .then((result) => {
        if (result.isOk()) callback(null, result.value);
        else callback(createServiceError(result.error));
      });
  };
}

/** Decodes the JSON of a stored object. */
interface ObjectCodec<T> {
  fromJSON(json: unknown): T;
}

/** Creates the handlers that read objects of one kind; replies have a field of that name. */
function createReaders<Kind extends string, T>(
  editor: ConfigEditor,
  kind: Kind,
  codec: ObjectCodec<T>,
) {
  const decode = ({ value, version, revision }: StoredObject) => {
    const field = { [kind]: codec.fromJSON(value) } as Record<Kind, T>;
    return { ...field, version, revision };
  };
  return {
    get: createHandler(async ({ name }: GetRequest) => (await editor.get(kind, name)).map(decode)),
    list: createHandler(async () =>
      (await editor.list(kind)).map((objects) => ({ items: objects.map(decode) })),
    ),
  };
}

/** Creates the handlers of the `Operator` service. */
export function createOperatorService(options: OperatorServiceOptions): OperatorServer {
  const { editor, rollouts, replica, membership, addresses, permits, store } = options;
  const workspaces = createReaders(editor, 'workspace', Workspace);
  const models = createReaders(editor, 'model', Model);
  const upstreams = createReaders(editor, 'upstream', Upstream);
  const cascades = createReaders(editor, 'cascade', Cascade);
  const rolloutReaders = createReaders(editor, 'rollout', Rollout);
  return {
    putWorkspace: createHandler(({ workspace, expectedVersion }) =>
      putChecked(editor, 'workspace', workspace, expectedVersion, Workspace.toJSON, checkWorkspace),
    ),
    getWorkspace: workspaces.get,
    listWorkspaces: workspaces.list,
    putModel: createHandler(async ({ model, expectedVersion }) => {
      const stored = model && (await rollouts.readModel(model.name));
      return putChecked(editor, 'model', model, expectedVersion, Model.toJSON, (value) =>
        checkModel(value, stored?.isOk() ? stored.value.value : undefined),
      );
    }),
    getModel: models.get,
    listModels: models.list,
    withdrawVersion: createHandler((request) => withdrawVersion(options, request)),
    putUpstream: createHandler(({ upstream, expectedVersion }) =>
      putChecked(editor, 'upstream', upstream, expectedVersion, Upstream.toJSON, checkUpstream),
    ),
    getUpstream: upstreams.get,
    listUpstreams: upstreams.list,
    putCascade: createHandler(({ cascade, expectedVersion }) =>
      putChecked(
        editor,
        'cascade',
        cascade && { ...cascade, objectName: `${cascade.workspace}.${cascade.name}` },
        expectedVersion,
        Cascade.toJSON,
        (value) => checkCascade(value, replica),
      ),
    ),
    getCascade: cascades.get,
    listCascades: cascades.list,
    startRollout: createHandler(({ rollout }) => {
      if (!rollout) return err(createFailure('invalid_change', 'rollout: is missing'));
      const violation = checkRollout(rollout);
      return violation ? err(violation) : rollouts.start(rollout);
    }),
    controlRollout: createHandler(({ name, action, expectedVersion }) =>
      rollouts.control(name, action, expectedVersion),
    ),
    getRollout: rolloutReaders.get,
    listRollouts: rolloutReaders.list,
    deleteObject: createHandler(({ kind, name, expectedVersion }) => {
      if (!DELETABLE_KINDS.includes(kind)) {
        const message = `kind: must be one of ${DELETABLE_KINDS.join(', ')}`;
        return err(createFailure('invalid_change', message));
      }
      return editor.remove(kind, name, expectedVersion);
    }),
    rotateSessionKeys: createHandler(() => rotateSessionKeys(options)),
    getChange: createHandler(async (request) =>
      ok(describeChange(request, membership, await addresses.listRecords(), permits)),
    ),
    listInstances: createHandler(() =>
      ok({
        instances: membership.getMembers().map((member) => ({
          id: member.id,
          zone: member.zone,
          status: member.status.replace('MEMBER_STATUS_', '').toLowerCase(),
          incarnation: member.incarnation,
          appliedRevision: member.appliedRevision,
          confirmedAgeMs: member.confirmedAgeMs,
        })),
      }),
    ),
    exportBills: async (call) => {
      try {
        for await (const bill of exportBills(store, call.request.workspace || undefined)) {
          call.write(bill);
        }
        call.end();
      } catch (error) {
        call.emit('error', createServiceError(createFailure('store_unavailable', String(error))));
      }
    },
  };
}

async function putChecked<T extends { name: string; objectName?: string }>(
  editor: ConfigEditor,
  kind: string,
  value: T | undefined,
  expectedVersion: number,
  toJson: (value: T) => unknown,
  check: (value: T) => Failure | undefined,
): Promise<Result<Change, Failure>> {
  if (!value) return err(createFailure('invalid_change', `${kind}: is missing`));
  const violation = check(value);
  if (violation) return err(violation);
  return editor.put(kind, value.objectName ?? value.name, toJson(value), expectedVersion);
}

/** Withdraws a version. The withdrawal also succeeds when the model changes at the same time. */
async function withdrawVersion(
  options: OperatorServiceOptions,
  request: { model: string; version: string; expectedVersion: number },
): Promise<Result<Change, Failure>> {
  const { editor, rollouts } = options;
  const found = await rollouts.readModel(request.model);
  if (found.isErr()) return err(found.error);
  const { object, value } = found.value;
  if (request.expectedVersion > 0 && request.expectedVersion !== object.version) {
    const message = `model ${request.model} has version ${object.version}, but the change expected ${request.expectedVersion}`;
    return err(createFailure('conflict', message));
  }
  if (!value.versions.some((each) => each.version === request.version)) {
    const message = `model ${request.model} has no version ${request.version}`;
    return err(createFailure('not_found', message));
  }
  const changed = await rollouts.setVersionState(
    request.model,
    request.version,
    VersionState.WITHDRAWN,
  );
  if (changed.isErr()) return err(changed.error);
  return (await editor.get('model', request.model)).map((stored) => editor.createChange(stored));
}

/**
 * Adds a session key that signs once every instance has it, sets the time at which the other keys
 * retire, and removes the keys that have retired.
 */
async function rotateSessionKeys(
  options: OperatorServiceOptions,
): Promise<Result<Change, Failure>> {
  const { editor, clock, sessionLifetimeMs } = options;
  const found = await editor.get('sessionkeys', 'current');
  if (found.isErr() && found.error.name !== 'not_found') return err(found.error);
  const stored = found.isOk() ? found.value : undefined;
  const nowMs = clock.wallMs();
  const keys = SessionKeys.fromJSON(stored?.value ?? {}).keys.filter(
    (key) => key.retiredAtMs === 0 || key.retiredAtMs > nowMs,
  );
  const signFromMs = keys.length === 0 ? nowMs : nowMs + KEY_DISTRIBUTION_MS;
  for (const key of keys) {
    if (key.retiredAtMs === 0) key.retiredAtMs = signFromMs + sessionLifetimeMs;
  }
  keys.push({
    keyId: randomUUID(),
    secret: randomBytes(SESSION_KEY_BYTES).toString('base64url'),
    acceptFromMs: nowMs,
    signFromMs,
    retiredAtMs: 0,
  });
  return editor.put('sessionkeys', 'current', SessionKeys.toJSON({ keys }), stored?.version ?? 0);
}
