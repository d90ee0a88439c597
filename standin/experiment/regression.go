package experiment

import "math"

// regression fits a linear function of several features by least squares. The
// function has no constant term unless one of the features is always 1.
type regression struct {
	// features and values hold one element for each observation.
	features [][]float64
	values   []float64
}

// add adds one observation: the value of the function for the features.
func (r *regression) add(value float64, features ...float64) {
	r.features = append(r.features, features)
	r.values = append(r.values, value)
}

// fit returns the coefficients of the fitted function, one for each feature. It
// solves the normal equations by Gauss-Jordan elimination.
func (r *regression) fit() []float64 {
	size := len(r.features[0])
	rows := make([][]float64, size)
	for i := range rows {
		rows[i] = make([]float64, size+1)
		for k, features := range r.features {
			for j, feature := range features {
				rows[i][j] += features[i] * feature
			}
			rows[i][size] += features[i] * r.values[k]
		}
	}
	for column := range size {
		pivot := column
		for row := column + 1; row < size; row++ {
			if math.Abs(rows[row][column]) > math.Abs(rows[pivot][column]) {
				pivot = row
			}
		}
		rows[column], rows[pivot] = rows[pivot], rows[column]
		for row := range size {
			if row == column || rows[column][column] == 0 {
				continue
			}
			factor := rows[row][column] / rows[column][column]
			for j := column; j <= size; j++ {
				rows[row][j] -= factor * rows[column][j]
			}
		}
	}
	coefficients := make([]float64, size)
	for i := range coefficients {
		coefficients[i] = rows[i][size] / rows[i][i]
	}
	return coefficients
}

// predict returns the value at the given features of the linear function with the
// coefficients.
func predict(coefficients, features []float64) float64 {
	sum := 0.0
	for i, coefficient := range coefficients {
		sum += coefficient * features[i]
	}
	return sum
}
