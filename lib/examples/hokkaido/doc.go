// Command hokkaido prints the configuration of the Hokkaido office's order desk.
package main
