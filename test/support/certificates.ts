/** Certificates for tests, generated on each run so that none expires. */
import { mkdtempSync, rmSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { generate } from "selfsigned";

/** The names differ; else the signed certificate would count as self-signed. */
const AUTHORITY_NAME = [{ name: "commonName", value: "test authority" }];
const SUBJECT_NAME = [{ name: "commonName", value: "test daemon" }];
const KEY = { keyType: "ec", curve: "P-256", algorithm: "sha256" } as const;

/** A certificate authority that writes what it signs to a temporary folder. */
export class TestCertificateAuthority {
  readonly #folder = mkdtempSync(join(tmpdir(), "cranberryledge-tls-"));
  #keyPair = { key: "", cert: "" };

  /** Creates an authority with a new key. */
  static async create(): Promise<TestCertificateAuthority> {
    const authority = new TestCertificateAuthority();
    const generated = await generate(AUTHORITY_NAME, {
      ...KEY,
      extensions: [
        { name: "basicConstraints", cA: true },
        { name: "keyUsage", keyCertSign: true, digitalSignature: true },
      ],
    });
    authority.#keyPair = { key: generated.private, cert: generated.cert };
    writeFileSync(authority.pathOf("authority.pem"), generated.cert);
    return authority;
  }

  pathOf(name: string): string {
    return join(this.#folder, name);
  }

  get certificate(): string {
    return this.#keyPair.cert;
  }

  /** Signs a certificate for 127.0.0.1; returns the paths of it and its key. */
  async sign(name: string): Promise<{ certificate: string; key: string }> {
    const generated = await generate(SUBJECT_NAME, {
      ...KEY,
      ca: this.#keyPair,
      extensions: [
        { name: "basicConstraints", cA: false },
        { name: "keyUsage", digitalSignature: true },
        { name: "extKeyUsage", serverAuth: true, clientAuth: true },
        { name: "subjectAltName", altNames: [{ type: 7, ip: "127.0.0.1" }] },
      ],
    });
    const certificate = this.pathOf(`${name}.pem`);
    const key = this.pathOf(`${name}.key`);
    writeFileSync(certificate, generated.cert);
    writeFileSync(key, generated.private);
    return { certificate, key };
  }

  [Symbol.dispose](): void {
    rmSync(this.#folder, { recursive: true });
  }
}
