// Package health ejects failing back ends and keeps the retry budgets.
package health
