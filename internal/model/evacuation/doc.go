// Package evacuation holds which availability zones take no new flows, as operators ordered
// and voters agreed.
package evacuation
