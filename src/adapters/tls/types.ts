/** Locations of keys and certificates. */

/** Files of a certificate and its key, in PEM format. */
export interface ICertificateFiles {
  readonly certificate: string;
  readonly key: string;
}

/** Files of an endpoint that also verifies the certificate of its peer. */
export interface IMutualTlsFiles extends ICertificateFiles {
  /** The certificate authorities trusted to sign a peer's certificate. */
  readonly authority: string;
}
