/** Credentials for calls between daemons: insecure or mutual TLS. */
import { credentials, experimental, ServerCredentials } from "@grpc/grpc-js";
import type { ChannelCredentials } from "@grpc/grpc-js";
import type { IMutualTlsFiles } from "./types.ts";

/**
 * How often the files are reloaded, milliseconds. Certificates are replaced
 * days before they expire, so a delay of a minute does not matter.
 */
const RELOAD_INTERVAL = 30_000;

/** Credentials of both ends of a connection between daemons. */
export interface IPeerCredentials {
  forServer(): ServerCredentials;
  forChannel(): ChannelCredentials;
}

/** No TLS, for a network that only the daemons can reach. */
export class InsecurePeerCredentials implements IPeerCredentials {
  forServer(): ServerCredentials {
    return ServerCredentials.createInsecure();
  }

  forChannel(): ChannelCredentials {
    return credentials.createInsecure();
  }
}

/**
 * Mutual TLS with files that are reloaded when they change. Otherwise a new
 * certificate would only take effect after a restart, and all peers would be
 * lost at once when the old one expires.
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
