/** Version of the message format that this release reads and writes. */
export const formatVersion = 1;
