/**
 * Header between nodes of a call that repeats an earlier one, or that is made
 * during a repeated run. Nodes of earlier versions ignore it.
 */
export const repeatHeader = "dogwoodwalk-repeat";

/** Value of {@link repeatHeader}; the header is absent on other calls. */
export const repeatValue = "1";
