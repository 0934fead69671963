package org.sassafrastrail.messages;

/**
 * How many requests of a client account began to run.
 *
 * @param account the name of the client account
 * @param requests the number of requests
 */
public record AccountCount(String account, long requests) {}
