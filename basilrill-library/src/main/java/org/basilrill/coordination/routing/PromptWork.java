package org.basilrill.coordination.routing;

/**
 * The tokens of a prompt that a target reads. Immutable and thread safe.
 *
 * @param certain tokens that it has to read
 * @param uncertain tokens that it reads unless it has them cached for another instance
 * @param preferred whether all instances prefer the target for these tokens
 */
record PromptWork(double certain, double uncertain, boolean preferred) {
    static PromptWork ofTokens(double tokens) {
        return new PromptWork(tokens, 0, false);
    }
}
