/**
 * Decides which members the whole fleet leaves alone: routers accuse on the decision module's evidence, one keeper with
 * the votes of a majority turns accusations into verdicts and never has more than a stated share of a tier out.
 * It must never judge by evidence of its own.
 */
package pumicemoor.fleet.verdicts;
