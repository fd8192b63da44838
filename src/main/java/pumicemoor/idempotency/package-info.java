/**
 * Decides what this router knows of the earlier attempts of a request that must not run twice, from the ids of open and
 * of ended requests. Time is an argument (Unix microseconds); it must never do I/O, nor choose an answer
 * ({@link pumicemoor.RefusalPolicy} does).
 */
package pumicemoor.idempotency;
