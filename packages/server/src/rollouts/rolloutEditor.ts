import type { StoredObject } from '@cactusstair/coordination';
import type { Change, Failure, ModelVersion } from '@cactusstair/protocol';
import {
  createFailure,
  Model,
  Rollout,
  RolloutAction,
  RolloutPhase,
  VersionState,
} from '@cactusstair/protocol';
import type { Clock } from '@cactusstair/utils';
import type { Result } from 'neverthrow';
import { err } from 'neverthrow';

import type { ConfigEditor } from '../operators/configEditor.js';

/** A stored object with its decoded value. */
interface Stored<T> {
  object: StoredObject;
  value: T;
}

const ENDED_PHASES: readonly RolloutPhase[] = [
  RolloutPhase.COMPLETED,
  RolloutPhase.ABORTED,
  RolloutPhase.FAILED,
];

/** Whether a rollout is in a final phase. */
export function isRolloutEnded(rollout: Rollout): boolean {
  return ENDED_PHASES.includes(rollout.phase);
}

/**
 * Changes rollouts and the states of their candidate versions.
 *
 * A rollout and its model are two stored objects. The model is always written first, and both
 * writes are safe to repeat, so that the next attempt completes a change that stopped halfway.
 */
export class RolloutEditor {
  constructor(
    private readonly editor: ConfigEditor,
    private readonly clock: Clock,
  ) {}

  /** Creates a rollout in phase `LOADING` and makes its version a candidate. */
  async start(rollout: Rollout): Promise<Result<Change, Failure>> {
    const model = await this.readModel(rollout.model);
    if (model.isErr()) return err(model.error);
    const { versions, currentVersion } = model.value.value;
    const candidate = versions.find((each) => each.version === rollout.candidateVersion);
    if (!candidate || candidate.state === VersionState.WITHDRAWN) {
      const message = `candidate_version: ${rollout.candidateVersion} is missing or withdrawn`;
      return err(createFailure('invalid_change', message));
    }
    if (rollout.candidateVersion === currentVersion) {
      return err(createFailure('invalid_change', 'candidate_version: is the current version'));
    }
    const running = await this.findRunning(rollout.model);
    if (running.isErr()) return err(running.error);
    if (running.value !== undefined) {
      const message = `rollout ${running.value} of model ${rollout.model} has not ended`;
      return err(createFailure('invalid_state', message));
    }
    const marked = await this.setCandidateState(rollout, VersionState.CANDIDATE);
    if (marked.isErr()) return err(marked.error);
    const stored = {
      ...rollout,
      baselineVersion: currentVersion,
      stepIndex: 0,
      phase: RolloutPhase.LOADING,
      reason: 'started by an operator',
      stepStartedAtMs: this.clock.wallMs(),
    };
    return this.editor.put('rollout', rollout.name, Rollout.toJSON(stored), 0);
  }

  /** Carries out an operator's action. */
  async control(
    name: string,
    action: RolloutAction,
    expectedVersion: number,
  ): Promise<Result<Change, Failure>> {
    const found = await this.read(name);
    if (found.isErr()) return err(found.error);
    const rollout = found.value.value;
    const apply = operatorActions[action];
    const next = apply?.(rollout);
    if (!next || isRolloutEnded(rollout)) {
      const message = `rollout ${name} is in phase ${rollout.phase}, which does not allow ${action}`;
      return err(createFailure('invalid_state', message));
    }
    if (next.phase === RolloutPhase.ABORTED) {
      const withdrawn = await this.setCandidateState(rollout, VersionState.WITHDRAWN);
      if (withdrawn.isErr()) return err(withdrawn.error);
    }
    const version = expectedVersion || found.value.object.version;
    return this.store(name, { ...rollout, ...next }, version);
  }

  /** Stores a new phase or step if the stored rollout still has version `expectedVersion`. */
  store(name: string, rollout: Rollout, expectedVersion: number): Promise<Result<Change, Failure>> {
    const value = { ...rollout, stepStartedAtMs: this.clock.wallMs() };
    return this.editor.put('rollout', name, Rollout.toJSON(value), expectedVersion);
  }

  async read(name: string): Promise<Result<Stored<Rollout>, Failure>> {
    const found = await this.editor.get('rollout', name);
    return found.map((object) => ({ object, value: Rollout.fromJSON(object.value) }));
  }

  async readModel(name: string): Promise<Result<Stored<Model>, Failure>> {
    const found = await this.editor.get('model', name);
    return found.map((object) => ({ object, value: Model.fromJSON(object.value) }));
  }

  /** Makes the candidate the current version and sets its state to settled. */
  promote(rollout: Rollout): Promise<Result<void, Failure>> {
    return this.editModel(rollout.model, (model) => {
      const candidate = findVersion(model, rollout.candidateVersion);
      if (!candidate || candidate.state === VersionState.WITHDRAWN) return false;
      candidate.state = VersionState.SETTLED;
      model.currentVersion = candidate.version;
      return true;
    });
  }

  /** Sets the state of the candidate. A withdrawn version keeps its state. */
  setCandidateState(rollout: Rollout, state: VersionState): Promise<Result<void, Failure>> {
    return this.setVersionState(rollout.model, rollout.candidateVersion, state);
  }

  /** Sets the state of a version. A withdrawn version keeps its state. */
  setVersionState(
    model: string,
    version: string,
    state: VersionState,
  ): Promise<Result<void, Failure>> {
    return this.editModel(model, (value) => {
      const found = findVersion(value, version);
      if (!found || found.state === VersionState.WITHDRAWN) return false;
      if (found.state === state) return false;
      found.state = state;
      return true;
    });
  }

  /** Changes a model; `change` returns whether it modified the model. */
  private editModel(
    name: string,
    change: (model: Model) => boolean,
  ): Promise<Result<void, Failure>> {
    return this.editor.edit('model', name, (value) => {
      const model = Model.fromJSON(value);
      return change(model) ? Model.toJSON(model) : undefined;
    });
  }

  private async findRunning(model: string): Promise<Result<string | undefined, Failure>> {
    const listed = await this.editor.list('rollout');
    return listed.map((objects) => {
      const rollouts = objects.map((object) => Rollout.fromJSON(object.value));
      return rollouts.find((each) => each.model === model && !isRolloutEnded(each))?.name;
    });
  }
}

type OperatorAction = (rollout: Rollout) => Partial<Rollout> | undefined;

/** Fields that each action changes; undefined if the phase does not allow the action. */
const operatorActions: Partial<Record<RolloutAction, OperatorAction>> = {
  [RolloutAction.ADVANCE]: ({ phase, stepIndex, steps }) => {
    if (phase !== RolloutPhase.RUNNING && phase !== RolloutPhase.PAUSED) return undefined;
    if (stepIndex + 1 >= steps.length) return undefined;
    return { stepIndex: stepIndex + 1, reason: 'advanced by an operator' };
  },
  [RolloutAction.PAUSE]: ({ phase }) =>
    phase === RolloutPhase.RUNNING
      ? { phase: RolloutPhase.PAUSED, reason: 'paused by an operator' }
      : undefined,
  [RolloutAction.RESUME]: ({ phase }) =>
    phase === RolloutPhase.PAUSED
      ? { phase: RolloutPhase.RUNNING, reason: 'resumed by an operator' }
      : undefined,
  [RolloutAction.ABORT]: () => ({
    phase: RolloutPhase.ABORTED,
    reason: 'aborted by an operator',
  }),
};

function findVersion(model: Model, version: string): ModelVersion | undefined {
  return model.versions.find((each) => each.version === version);
}
