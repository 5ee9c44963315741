/** The zone's live daemons in this daemon's view, and their duties. */
import { Emitter } from "../emitter.ts";
import type { IHash, ILiveDaemons } from "../services/services.ts";
import type { DaemonId } from "../types.ts";
import { chooseByRendezvous } from "./rendezvous.ts";

/** Updated by the membership service. */
export class LiveDaemons implements ILiveDaemons {
  readonly self: DaemonId;
  readonly #hash: IHash;
  readonly #changed = new Emitter<void>();
  #inZone: readonly DaemonId[];

  readonly onChanged = this.#changed.event;

  constructor(self: DaemonId, hash: IHash) {
    this.self = self;
    this.#hash = hash;
    this.#inZone = [self];
  }

  get inZone(): readonly DaemonId[] {
    return this.#inZone;
  }

  isChosen(duty: string, count: number): boolean {
    const options = { count, hash: this.#hash };
    return chooseByRendezvous(duty, this.#inZone, options).includes(this.self);
  }

  /** Replaces the live daemons of the zone; this one is added if missing. */
  update(daemons: Iterable<DaemonId>): void {
    const next = [...new Set([...daemons, this.self])].sort();
    if (next.join("\n") !== this.#inZone.join("\n")) {
      this.#inZone = next;
      this.#changed.fire();
    }
  }
}
