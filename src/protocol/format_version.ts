/** Version of the messages that this release writes and reads. */
export const formatVersion = 1;
