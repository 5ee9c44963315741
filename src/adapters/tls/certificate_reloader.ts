/** Reloads the certificate of a TLS server when its files change. */
import { readFileSync, statSync } from "node:fs";
import { createSecureContext } from "node:tls";
import type { Server } from "node:tls";
import type { IDisposable } from "../../common/disposable.ts";
import type { ILog } from "../../common/services/services.ts";
import type { ICertificateFiles } from "./types.ts";

/** How often the files are checked for changes, milliseconds. */
const CHECK_INTERVAL = 5_000;

/** A certificate and its key in PEM format. */
export interface ICertificate {
  readonly cert: string;
  readonly key: string;
}

/** Reads both files; throws if one is missing. */
export function readCertificate(files: ICertificateFiles): ICertificate {
  return {
    cert: readFileSync(files.certificate, "utf8"),
    key: readFileSync(files.key, "utf8"),
  };
}

/**
 * Replaces a server's certificate when its files change. A certificate and key
 * that do not match, for example while only one file has been replaced, are
 * logged, and the last valid pair stays in use.
 */
export class CertificateReloader implements IDisposable {
  readonly #files: ICertificateFiles;
  readonly #server: Pick<Server, "setSecureContext">;
  readonly #log: ILog;
  readonly #timer: NodeJS.Timeout;
  #changedAt: string;

  constructor(
    server: Pick<Server, "setSecureContext">,
    files: ICertificateFiles,
    log: ILog,
  ) {
    this.#server = server;
    this.#files = files;
    this.#log = log;
    this.#changedAt = changeTimes(files);
    this.#timer = setInterval(() => this.reloadIfChanged(), CHECK_INTERVAL);
    this.#timer.unref();
  }

  /** Loads the files if they have changed. */
  reloadIfChanged(): void {
    try {
      const changedAt = changeTimes(this.#files);
      if (changedAt === this.#changedAt) {
        return;
      }
      const certificate = readCertificate(this.#files);
      createSecureContext(certificate);
      this.#server.setSecureContext(certificate);
      this.#changedAt = changedAt;
      this.#log.info("certificate_reread", { file: this.#files.certificate });
    } catch (error) {
      const file = this.#files.certificate;
      const detail = String(error);
      this.#log.warn("certificate_unusable", { file, detail });
    }
  }

  dispose(): void {
    clearInterval(this.#timer);
  }
}

function changeTimes(files: ICertificateFiles): string {
  const times = [files.certificate, files.key].map(
    (file) => statSync(file).mtimeMs,
  );
  return times.join("/");
}
