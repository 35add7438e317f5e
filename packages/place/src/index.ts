/** Starts a small place of stand-ins and entry instances as child processes. */
export { defaultPlaceOptions } from './defaultPlace.js';
export { findFreePorts } from './freePorts.js';
export type { EntryAddresses } from './place.js';
export { Place } from './place.js';
export type {
  PlaceCascade,
  PlaceEngines,
  PlaceModel,
  PlaceOptions,
  PlaceProxy,
  PlaceServices,
  PlaceVersion,
  PlaceWorkspace,
  PlaceZone,
} from './placeOptions.js';
export type { ProcessExit, ReadyLine } from './placeProcess.js';
export { PlaceProcess } from './placeProcess.js';
