/**
 * Decides what becomes of a call that another proxy makes for a request of its own: which request of the settings
 * it is, whether there is room for it, what may be said at each phase of its stream, and what is known of calls
 * that have ended. Time comes in as an argument (Unix microseconds); it must never do I/O, nor pick a member or
 * an attempt (Logic does). Sources: Envoy's external processing API (envoy.service.ext_proc.v3); token buckets
 * with a shared reserve after deficit round robin (Shreedhar and Varghese, 1996). See docs/extproc-design.md.
 */
package pumicemoor.calls;
