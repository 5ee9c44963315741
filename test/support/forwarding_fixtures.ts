/** Targets, peers and recorded sends for tests of forwarding. */
import { ListedState } from "../../src/common/calls/types.ts";
import type {
  ICallSender,
  IListedTarget,
  ISendOptions,
  IResponseReceiver,
} from "../../src/common/calls/types.ts";
import type {
  IForwardedSend,
  IForwardReceiver,
} from "../../src/common/forwarding/types.ts";
import { engineState } from "./engine_fixtures.ts";

export const SERVICE = "summaries";

/** Targets of several zones. */
export function targetsOf(
  zones: readonly string[],
  perZone: number,
): readonly IListedTarget[] {
  return zones.flatMap((zone) =>
    Array.from({ length: perZone }, (_, index) => ({
      id: `${zone}-${index}`,
      startedAt: 1,
      service: SERVICE,
      address: `10.0.0.${index}:80`,
      zone,
      slots: 12,
      state: ListedState.Ready,
      engine: engineState(),
    })),
  );
}

/** Lets pending promises settle. */
export async function settle(): Promise<void> {
  for (let turn = 0; turn < 20; turn += 1) {
    await Promise.resolve();
  }
}

/** A send to a target that a test answers. */
export interface IDirectSend {
  readonly options: ISendOptions & { readonly receiver: IResponseReceiver };
  isAborted: boolean;
}

/** Records sends to targets. */
export class RecordingSender implements ICallSender {
  readonly sends: IDirectSend[] = [];

  readonly send: ICallSender["send"] = (_target, _call, options) => {
    const send = { options, isAborted: false };
    this.sends.push(send);
    return { abort: () => (send.isAborted = true) };
  };
}

/** A send through a peer that a test answers. */
export interface IPeerSend {
  readonly address: string;
  readonly send: IForwardedSend;
  readonly receiver: IForwardReceiver;
  isAborted: boolean;
}

/** Records sends through peers. */
export class RecordingPeerLink {
  readonly sends: IPeerSend[] = [];

  send(address: string, send: IForwardedSend, receiver: IForwardReceiver) {
    const sent = { address, send, receiver, isAborted: false };
    this.sends.push(sent);
    return { abort: () => void (sent.isAborted = true) };
  }
}
