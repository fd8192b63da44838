/**
 * Decides how to handle a call that another proxy makes for a request of its own: which request class, object, part and
 * group it stands for, whether it is admitted, and what may be sent in each phase of its stream. Time is an argument (Unix microseconds); it must never do I/O, nor choose a member or an
 * attempt (Logic does). Sources: Envoy's external processing API (envoy.service.ext_proc.v3); token buckets with a
 * shared reserve after deficit round robin (Shreedhar and Varghese, 1996). See docs/extproc-design.md.
 */
package pumicemoor.calls;
