// Command kerlouan prints the configuration of Kerlouan Imaging Recovery's returns desk.
package main
