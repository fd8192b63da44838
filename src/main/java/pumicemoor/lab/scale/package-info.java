/**
 * Measures how the cost of each router role grows with the size of the fleet: simulated routers (the production
 * decision code without sockets, in virtual time), least-squares fits of the growth, plots and tables. Code that
 * serves requests must never depend on this package.
 */
package pumicemoor.lab.scale;
