/** Certificates of HTTPS servers, read again when their files change. */
import { readFileSync, unwatchFile, watchFile } from 'node:fs';
import type { Server } from 'node:https';

/** Paths of a certificate and its key, in PEM. */
export type TlsFiles = { readonly certificate: string; readonly key: string };

/** Contents of the files. */
export type TlsContents = { readonly cert: Buffer; readonly key: Buffer };

const CHECK_MS = 1_000;

/** Reads both files; throws when one can not be read. */
export function readTlsFiles(files: TlsFiles): TlsContents {
  return { cert: readFileSync(files.certificate), key: readFileSync(files.key) };
}

/** The files that two settings name; undefined when both are absent. */
export function tlsFiles(certificate?: string, key?: string): TlsFiles | undefined {
  if (certificate === undefined && key === undefined) {
    return undefined;
  }
  if (certificate === undefined || key === undefined) {
    throw new Error('tls-certificate and tls-key must be given together');
  }
  return { certificate, key };
}

/**
 * Uses the new certificate for new connections when the certificate file changes; connections in
 * progress keep theirs. The key has to be in place first. Returns a function that ends the watch.
 */
export function reloadOnChange(server: Server, files: TlsFiles): () => void {
  const reload = (): void => {
    try {
      server.setSecureContext(readTlsFiles(files));
    } catch {
      // A half-written pair is read again with its next change; the old one stays in use.
    }
  };
  watchFile(files.certificate, { interval: CHECK_MS, persistent: false }, reload);
  return () => {
    unwatchFile(files.certificate, reload);
  };
}
