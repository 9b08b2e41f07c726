// Package capacity turns what the benchmarks of other packages measured into figures of the planned size: a line
// through each series, its residual, and its product with the plan.
//
// It has the plan's numbers (plan.go), the fit (fit.go), the parser of raw output (parse.go) and the table of figures
// (report.go). It is pure: lab/capacity/run runs benchmarks and writes files. Each figure comes with its largest measured
// size, and a slope needs at least three sizes.
//
// docs/CAPACITY.md explains the figures.
package capacity
