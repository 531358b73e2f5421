/** Characters that `encodeURIComponent` leaves as they are, and escapes. */
const encodedPattern = /^[A-Za-z0-9._~%!'()*-]*$/;
const plainPattern = /^[A-Za-z0-9._~!'()*-]*$/;

const loneSurrogates = /[\ud800-\udfff]/gu;

/** Replaces unpaired surrogates, which cannot be encoded. */
export function replaceLoneSurrogates(text: string): string {
  return text.replace(loneSurrogates, "\ufffd");
}

/**
 * Encodes a name, so that it contains no separator of a header's fields.
 * @param name Any text; unpaired surrogates are replaced.
 * @returns The encoded name, which equals the name if it has only letters,
 * digits and some other characters of ASCII.
 */
export function encodeName(name: string): string {
  return plainPattern.test(name)
    ? name
    : encodeURIComponent(replaceLoneSurrogates(name));
}

/**
 * Decodes a name.
 * @param text The encoded name.
 * @param maximumLength Largest number of characters of the name.
 * @returns The name, or `undefined` when it is malformed or too long.
 */
export function decodeName(
  text: string,
  maximumLength: number,
): string | undefined {
  if (!encodedPattern.test(text)) {
    return undefined;
  }
  let name = text;
  if (text.includes("%")) {
    try {
      name = decodeURIComponent(text);
    } catch {
      return undefined;
    }
  }
  return name.length > maximumLength ? undefined : name;
}
