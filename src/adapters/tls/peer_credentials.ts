/** Credentials between daemons: plain, or TLS in which both sides are checked. */
import { credentials, experimental, ServerCredentials } from "@grpc/grpc-js";
import type { ChannelCredentials } from "@grpc/grpc-js";
import type { IMutualTlsFiles } from "./types.ts";

/**
 * How often the files are reread, milliseconds. Certificates are replaced days
 * before they run out, so a minute's delay is nothing.
 */
const RELOAD_INTERVAL = 30_000;

/** What both ends of a connection between daemons show. */
export interface IPeerCredentials {
  forServer(): ServerCredentials;
  forChannel(): ChannelCredentials;
}

/** No TLS: for a network that only the daemons can reach. */
export class InsecurePeerCredentials implements IPeerCredentials {
  forServer(): ServerCredentials {
    return ServerCredentials.createInsecure();
  }

  forChannel(): ChannelCredentials {
    return credentials.createInsecure();
  }
}

/**
 * Mutual TLS with files that are reread when they change. Without rereading,
 * a replaced certificate would take effect only at the next restart, which
 * one would notice as peers that are lost all at once on the day it runs out.
 */
export class MutualTlsPeerCredentials implements IPeerCredentials {
  readonly #provider: experimental.FileWatcherCertificateProvider;

  constructor(files: IMutualTlsFiles) {
    this.#provider = new experimental.FileWatcherCertificateProvider({
      certificateFile: files.certificate,
      privateKeyFile: files.key,
      caCertificateFile: files.authority,
      refreshIntervalMs: RELOAD_INTERVAL,
    });
  }

  forServer(): ServerCredentials {
    return experimental.createCertificateProviderServerCredentials(
      this.#provider,
      this.#provider,
      true,
    );
  }

  forChannel(): ChannelCredentials {
    return experimental.createCertificateProviderChannelCredentials(
      this.#provider,
      this.#provider,
    );
  }
}
