package slope

import (
	"fmt"
	"math"
)

// Point is one measurement: cost Y at size X.
type Point struct{ X, Y float64 }

// Slope is a cost as a linear function of a size.
type Slope struct {
	Name string
	// Per names what X counts. Unit is the unit of Y.
	Per, Unit string
	Points    []Point
	// Intercept and Gradient describe the least-squares line. Fit is the R squared of the line.
	Intercept, Gradient, Fit float64
	// Bend is the smallest measured size at which the line deviates from the measured cost by more
	// than a fifth of that cost. Bend is 0 if the line nowhere deviates that far.
	Bend float64
}

// TooFewError reports fewer points than a fit needs.
type TooFewError struct {
	Name   string
	Points int
}

func (e *TooFewError) Error() string {
	return fmt.Sprintf("%s has %d points; a slope needs at least three", e.Name, e.Points)
}

const (
	minPoints     = 3
	bendTolerance = 0.2
)

// New fits a line to points in ascending order of size.
func New(name, per, unit string, points []Point) (Slope, error) {
	s := Slope{Name: name, Per: per, Unit: unit, Points: points}
	if len(points) < minPoints {
		return s, &TooFewError{Name: name, Points: len(points)}
	}
	return s.fitted(), nil
}

func (s Slope) fitted() Slope {
	n := float64(len(s.Points))
	var sumX, sumY, sumXX, sumXY float64
	for _, p := range s.Points {
		sumX += p.X
		sumY += p.Y
		sumXX += p.X * p.X
		sumXY += p.X * p.Y
	}
	if d := n*sumXX - sumX*sumX; d != 0 {
		s.Gradient = (n*sumXY - sumX*sumY) / d
	}
	s.Intercept = (sumY - s.Gradient*sumX) / n
	s.Fit = s.rSquared(sumY / n)
	for _, p := range s.Points {
		if math.Abs(s.At(p.X)-p.Y) > bendTolerance*math.Abs(p.Y) {
			s.Bend = p.X
			break
		}
	}
	return s
}

func (s Slope) rSquared(mean float64) float64 {
	var residual, total float64
	for _, p := range s.Points {
		residual += (p.Y - s.At(p.X)) * (p.Y - s.At(p.X))
		total += (p.Y - mean) * (p.Y - mean)
	}
	if total == 0 {
		return 1
	}
	return 1 - residual/total
}

// At returns the line's cost at a size.
func (s Slope) At(x float64) float64 { return s.Intercept + s.Gradient*x }

// UpperBound returns the larger of two costs: the line's cost at x and the highest cost measured at
// a size up to x. A measured cost above the line is thus not underestimated.
func (s Slope) UpperBound(x float64) float64 {
	cost := s.At(x)
	for _, p := range s.Points {
		if p.X <= x {
			cost = max(cost, p.Y)
		}
	}
	return cost
}
