/** Certificates for tests, made anew each time so that none runs out. */
import { mkdtempSync, rmSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { generate } from "selfsigned";

/** Names differ, or the signed one would be taken for self-signed. */
const AUTHORITY_NAME = [{ name: "commonName", value: "test authority" }];
const SUBJECT_NAME = [{ name: "commonName", value: "test daemon" }];
const KEY = { keyType: "ec", curve: "P-256", algorithm: "sha256" } as const;

/** A certificate authority with a folder for what it signs. */
export class TestCertificateAuthority {
  readonly #folder = mkdtempSync(join(tmpdir(), "cranberryledge-tls-"));
  #keyPair = { key: "", cert: "" };

  /** Makes an authority with a key of its own. */
  static async create(): Promise<TestCertificateAuthority> {
    const authority = new TestCertificateAuthority();
    const made = await generate(AUTHORITY_NAME, {
      ...KEY,
      extensions: [
        { name: "basicConstraints", cA: true },
        { name: "keyUsage", keyCertSign: true, digitalSignature: true },
      ],
    });
    authority.#keyPair = { key: made.private, cert: made.cert };
    writeFileSync(authority.pathOf("authority.pem"), made.cert);
    return authority;
  }

  pathOf(name: string): string {
    return join(this.#folder, name);
  }

  get certificate(): string {
    return this.#keyPair.cert;
  }

  /** Signs a certificate for 127.0.0.1 and writes it with its key. */
  async sign(name: string): Promise<{ certificate: string; key: string }> {
    const made = await generate(SUBJECT_NAME, {
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
    writeFileSync(certificate, made.cert);
    writeFileSync(key, made.private);
    return { certificate, key };
  }

  [Symbol.dispose](): void {
    rmSync(this.#folder, { recursive: true });
  }
}
