/**
 * The operator's file: a YAML file with the settings that an operator adds to those of the platform. The package owns
 * the file's format, defaults and validation, with one record for each section. It must not make routing decisions, and
 * a router started without such a file must not need it. deploy/operator.example.yaml lists every key with its unit and
 * default.
 */
package pumicemoor.operator;
