// Package capacity extrapolates the results of the capacity benchmarks of other packages to the planned size. It fits a line
// through each series of results, and computes the residual of the fit and the value at the planned size.
//
// It contains the numbers of the plan (plan.go), the fit (fit.go), the parser of benchmark output (parse.go) and the table of
// figures (report.go). It has no side effects: lab/capacity/run runs the benchmarks and writes the files. Each figure states
// the largest measured size, and a fit needs at least three sizes.
//
// docs/CAPACITY.md explains the figures.
package capacity
